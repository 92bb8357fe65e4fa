#include "product/log.h"

#include <chrono>
#include <iostream>

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
  stream->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
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
  for (const log_field& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  static logging::sources::severity_logger_mt<log_level> logger;
  BOOST_LOG_SEV(logger, level) << line.dump();
}

}  // namespace corianderplank
