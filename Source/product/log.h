/// @file
/// Structured log lines on standard output, by Boost.Log.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace corianderplank {

/// Severity of a line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// One named value of a line.
struct log_field {
  std::string_view name;
  std::string value;
};

/// @param process the process's name, in every line.
/// @param level the lowest level that is written: debug, info, warning, error.
void StartLog(const std::string& process, std::string_view level);

/// Writes one JSON line for a change of state.
/// @param level severity.
/// @param event what happened, such as "document_in_force".
/// @param fields its particulars.
void LogEvent(log_level level,
              std::string_view event,
              std::initializer_list<log_field> fields = {});

}  // namespace corianderplank
