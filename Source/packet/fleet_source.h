/// @file
/// Read-only interface to the platform's configuration and targets.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet.h"

namespace corianderplank {

/// Outcome of a read.
enum class read_status : std::uint8_t {
  complete,      ///< The result contains everything that was requested.
  history_lost,  ///< The source no longer stores the requested changes.
  too_large,     ///< The requested changes exceed the accepted size.
  refused,       ///< The source replied that it does not serve the read.
  unreachable,   ///< No reply within the timeout.
};

/// An entry of the source that could not be used.
struct unusable_entry {
  std::string key;    ///< Key under which the source stores it.
  std::string error;  ///< Its first invalid field, or what else is wrong.
};

/// Result of a read. The other members are meaningful only if `status` is
/// `complete`.
struct fleet_read_result {
  read_status status = read_status::unreachable;
  /// Revision up to which `targets` is complete.
  source_revision revision;
  /// All targets, or the changed ones; of the latter, those with `removed` have
  /// been removed.
  std::vector<fleet_target> targets;
  /// Evacuations in the result. A complete list has those in force; changes
  /// also have those that have ended.
  std::vector<domain_evacuation> evacuations;
  /// Latest configuration in the result; null if it contains none.
  std::shared_ptr<const fleet_configuration> configuration;
  /// Entries that were skipped.
  std::vector<unusable_entry> unusable_entries;
};

/// Called exactly once for each read, on the loop's thread.
using read_callback = std::function<void(fleet_read_result)>;

/// Source of configuration and targets. Only one read may run at a time.
class fleet_source {
 public:
  virtual ~fleet_source() = default;

  /// Reads the configuration and all targets.
  /// @param callback called with the result, also when the read fails.
  virtual void ReadAll(read_callback callback) = 0;

  /// Reads what has changed since a revision. If the source was restored since,
  /// the result may skip changes: its epoch differs from that of `after`.
  /// @param after revision of an earlier result; changes with a higher
  ///     number are read.
  /// @param callback called with the result, also when the read fails.
  virtual void ReadChanges(const source_revision& after,
                           read_callback callback) = 0;

  /// Parses the text of a configuration that a peer has sent.
  /// @param text the text as the source published it.
  /// @param revision revision under which the source stores it.
  /// @return the configuration, or null if the text is malformed.
  virtual std::shared_ptr<const fleet_configuration> ParseConfiguration(
      const std::string& text,
      const source_revision& revision) const = 0;
};

}  // namespace corianderplank
