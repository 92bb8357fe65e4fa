#include "command/document_difference.h"

#include <algorithm>

namespace corianderplank {
namespace {

/// Collects the differences of two documents.
class comparison {
 public:
  void Service(const service& before, const service& after) {
    const std::string subject = "service " + after.name;
    Compare(subject, "port", before.port, after.port);
    Compare(subject, "queue_per_slot", before.queue_per_slot,
            after.queue_per_slot);
    Compare(subject, "cold_start_ms", before.cold_start.count(),
            after.cold_start.count());
    Classes(before, after);
    for (const target& item : before.targets) {
      if (FindTarget(after, item.id) == nullptr) {
        Add("removed", "target " + item.name + " of " + after.name,
            "its flows move to the service's other targets", true);
      }
    }
    for (const target& item : after.targets) {
      const target* known = FindTarget(before, item.id);
      if (known == nullptr) {
        Add("added", "target " + item.name + " of " + after.name,
            std::to_string(item.slots) + " slots", false);
      } else {
        Target(after.name, *known, item);
      }
    }
  }

  void Add(const std::string& what,
           const std::string& subject,
           const std::string& detail,
           bool moves) {
    found_.push_back({what, subject, detail, moves});
  }

  std::vector<document_difference> Take() { return std::move(found_); }

 private:
  void Classes(const service& before, const service& after) {
    if (before.classes.size() != after.classes.size()) {
      Add("changed", "service " + after.name,
          std::to_string(before.classes.size()) + " -> " +
              std::to_string(after.classes.size()) + " classes",
          false);
      return;
    }
    for (std::size_t index = 0; index < after.classes.size(); ++index) {
      const traffic_class& old = before.classes[index];
      const traffic_class& now = after.classes[index];
      const std::string subject = "class " + now.name + " of " + after.name;
      if (old.name != now.name) {
        Add("changed", subject, "name " + old.name + " -> " + now.name, false);
      }
      Compare(subject, "weight", old.weight, now.weight);
      Compare(subject, "max_share in thousandths", old.max_share_permille,
              now.max_share_permille);
    }
  }

  void Target(const std::string& service_name,
              const target& before,
              const target& after) {
    const std::string subject = "target " + after.name + " of " + service_name;
    Compare(subject, "slots", before.slots, after.slots);
    Compare(subject, "connections", before.connections, after.connections);
    Compare(subject, "weight", before.weight, after.weight);
    if (before.agent != after.agent) {
      Add("changed", subject,
          "agent " + FormatEndpoint(before.agent) + " -> " +
              FormatEndpoint(after.agent),
          true);
    }
  }

  template <typename number>
  void Compare(const std::string& subject,
               const std::string& key,
               number before,
               number after) {
    if (before != after) {
      Add("changed", subject,
          key + " " + std::to_string(before) + " -> " + std::to_string(after),
          false);
    }
  }

  std::vector<document_difference> found_;
};

}  // namespace

std::vector<document_difference> CompareDocuments(
    const environment_document& before,
    const environment_document& after) {
  comparison compared;
  if (before.environment != after.environment) {
    compared.Add("changed", "environment",
                 before.environment + " -> " + after.environment, false);
  }
  for (const service& item : before.services) {
    if (FindService(after, item.id) == nullptr) {
      compared.Add("removed", "service " + item.name,
                   "its callers get no answer any more", true);
    }
  }
  for (const service& item : after.services) {
    const service* known = FindService(before, item.id);
    if (known == nullptr) {
      compared.Add("added", "service " + item.name,
                   std::to_string(item.targets.size()) + " targets", false);
    } else {
      compared.Service(*known, item);
    }
  }
  return compared.Take();
}

}  // namespace corianderplank
