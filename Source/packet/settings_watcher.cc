#include "packet/settings_watcher.h"

#include <sys/stat.h>

#include <chrono>

#include "product/log.h"
#include "product/settings.h"

namespace corianderplank {
namespace {

/// Period of checking the file, which may change without a signal. None of its
/// settings needs to take effect sooner.
constexpr std::chrono::milliseconds kPollPeriod{2000};

/// Modification time and size, which identify a version of a file without
/// reading it. All zero if the file does not exist.
struct file_stamp {
  std::int64_t seconds = 0;
  std::int64_t nanoseconds = 0;
  std::int64_t size = 0;
  bool operator==(const file_stamp&) const = default;
};

file_stamp ReadStamp(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

}  // namespace

struct settings_watcher::state {
  void Poll() {
    const file_stamp stamp = ReadStamp(path);
    if (stamp != last_stamp && stamp != file_stamp{}) {
      Reload();
    }
    loop.After(kPollPeriod, [this] { Poll(); });
  }

  void Reload() {
    last_stamp = ReadStamp(path);
    std::string text;
    if (!ReadFile(path, text)) {
      LogEvent(log_level::error, "settings_unreadable", {{"file", path}});
      return;
    }
    const parsed_packet_settings parsed =
        ParsePacketSettings(path, text, is_agent);
    for (const config_error& error : parsed.errors) {
      LogEvent(log_level::error, "settings_refused",
               {{"error", FormatConfigError(error)}});
    }
    if (!parsed.errors.empty()) {
      return;
    }
    LogEvent(log_level::info, "settings_read",
             {{"file", path},
              {"changed", parsed.settings == settings ? "no" : "yes"}});
    if (parsed.settings != settings) {
      settings = parsed.settings;
      on_change(settings);
    }
  }

  event_loop& loop;
  std::string path;
  packet_settings settings;
  bool is_agent;
  settings_callback on_change;
  file_stamp last_stamp;
};

settings_watcher::settings_watcher(event_loop& loop,
                                   std::string path,
                                   const packet_settings& settings,
                                   bool is_agent,
                                   settings_callback on_change)
    : state_(std::make_unique<state>(state{loop,
                                           std::move(path),
                                           settings,
                                           is_agent,
                                           std::move(on_change),
                                           {}})) {}

settings_watcher::~settings_watcher() = default;

void settings_watcher::Start() {
  state_->last_stamp = ReadStamp(state_->path);
  state_->loop.OnReloadSignal([this] { state_->Reload(); });
  state_->loop.After(kPollPeriod, [this] { state_->Poll(); });
}

void settings_watcher::Reload() {
  state_->Reload();
}

}  // namespace corianderplank
