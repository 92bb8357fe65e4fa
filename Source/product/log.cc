#include "product/log.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <ostream>
#include <streambuf>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

namespace corianderplank {
namespace {

namespace logging = boost::log;

/// Writes whole lines to standard output. A line that a full pipe does not take
/// at once is left out and counted: a slow reader must not stop the process.
class line_buffer : public std::streambuf {
 public:
  /// @return lines that were left out since the last call.
  std::uint64_t CollectLost() { return lost_.exchange(0); }

 protected:
  int_type overflow(int_type character) override {
    if (character != traits_type::eof()) {
      line_ += static_cast<char>(character);
    }
    return character;
  }
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    line_.append(text, static_cast<std::size_t>(size));
    return size;
  }
  int sync() override {
    if (line_.empty()) {
      return 0;
    }
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool ready =
        ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    // A pipe that is ready takes so much without waiting.
    const std::size_t size = std::min<std::size_t>(line_.size(), PIPE_BUF);
    if (size < line_.size()) {
      line_[size - 1] = '\n';
    }
    if (!ready || ::write(STDOUT_FILENO, line_.data(), size) < 0) {
      ++lost_;
    }
    line_.clear();
    return 0;
  }

 private:
  std::string line_;
  std::atomic<std::uint64_t> lost_{0};
};

line_buffer& Lines() {
  static line_buffer lines;
  return lines;
}

std::string& ProcessName() {
  static std::string name;
  return name;
}

log_level ParseLevel(std::string_view level) {
  if (level == "debug") {
    return log_level::debug;
  }
  if (level == "warning") {
    return log_level::warning;
  }
  return level == "error" ? log_level::error : log_level::info;
}

std::string_view LevelName(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "error";
}

}  // namespace

void StartLog(const std::string& process, std::string_view level) {
  ProcessName() = process;
  using backend = logging::sinks::text_ostream_backend;
  auto stream = boost::make_shared<backend>();
  stream->add_stream(boost::make_shared<std::ostream>(&Lines()));
  stream->auto_flush(true);
  auto sink =
      boost::make_shared<logging::sinks::synchronous_sink<backend>>(stream);
  const log_level lowest = ParseLevel(level);
  sink->set_filter([lowest](const logging::attribute_value_set& values) {
    const auto severity = values["Severity"].extract<log_level>();
    return severity && *severity >= lowest;
  });
  sink->set_formatter(
      [](const logging::record_view& record, logging::formatting_ostream& out) {
        out << record[logging::expressions::smessage];
      });
  logging::core::get()->add_sink(sink);
}

void LogEvent(log_level level,
              std::string_view event,
              std::initializer_list<log_field> fields) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["time_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  line["level"] = LevelName(level);
  line["process"] = ProcessName();
  line["event"] = event;
  if (const std::uint64_t lost = Lines().CollectLost(); lost > 0) {
    line["lines_lost_before"] = lost;
  }
  for (const log_field& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  static logging::sources::severity_logger_mt<log_level> logger;
  BOOST_LOG_SEV(logger, level) << line.dump();
}

}  // namespace corianderplank
