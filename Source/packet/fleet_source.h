/// @file
/// Where configuration and targets are published. Read only.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet.h"

namespace corianderplank {

/// How a read ended.
enum class read_status : std::uint8_t {
  complete,      ///< Everything that was asked for is there.
  history_lost,  ///< The changes asked for are not kept any more.
  refused,       ///< The source answered that it does not serve the read.
  unreachable,   ///< No answer came in time.
};

/// What a read brought.
struct fleet_read_result {
  read_status status = read_status::unreachable;
  /// Revision up to which the rows are whole.
  std::uint64_t revision = 0;
  /// All targets, or those that changed; the latter may have `gone`.
  std::vector<fleet_target> targets;
  /// Newest configuration among what was read; null when there is none.
  std::shared_ptr<const fleet_configuration> configuration;
  /// Entries that could not be understood.
  std::uint32_t malformed_entries = 0;
};

/// Called once, on the loop's thread.
using read_callback = std::function<void(fleet_read_result)>;

/// A source. One read at a time.
class fleet_source {
 public:
  virtual ~fleet_source() = default;

  /// Reads everything.
  /// @param callback called with the result.
  virtual void ReadAll(read_callback callback) = 0;

  /// Reads what has changed.
  /// @param after a revision that a read told.
  /// @param callback called with the result.
  virtual void ReadChanges(std::uint64_t after, read_callback callback) = 0;

  /// @param text a configuration's text as a peer passed it on.
  /// @param revision its revision.
  /// @return the configuration, or null when the text is none.
  virtual std::shared_ptr<const fleet_configuration> ParseConfiguration(
      const std::string& text,
      std::uint64_t revision) const = 0;
};

}  // namespace corianderplank
