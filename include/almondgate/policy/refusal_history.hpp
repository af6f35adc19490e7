#ifndef ALMONDGATE_POLICY_REFUSAL_HISTORY_HPP
#define ALMONDGATE_POLICY_REFUSAL_HISTORY_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/ids.hpp"

#include <map>
#include <set>
#include <string>

namespace almondgate::policy {

/// Remembers when refused jobs were first submitted, so that the admission of a
/// resubmitted job accounts for the time that its caller has waited. Bounded in
/// age and number of entries.
class RefusalHistory {
public:
  /// Records that a job was refused in a call. Later refusals do not change the
  /// time of the first.
  void recordRefusal(const jobs::JobId &id, const std::string &call,
                     core::TimeMs now);

  /// Whether the job was refused in this call. A retry of the call must get the
  /// same answer.
  bool wasRefused(const jobs::JobId &id, const std::string &call) const;

  /// Time when the job was first refused; `now` if it never was.
  core::TimeMs firstSentAt(const jobs::JobId &id, core::TimeMs now) const;

  void forget(const jobs::JobId &id) { Refused.erase(id); }
  void clear() { Refused.clear(); }
  size_t size() const { return Refused.size(); }

private:
  struct Refusals {
    core::TimeMs First;
    std::set<std::string> Calls;
  };

  std::map<jobs::JobId, Refusals> Refused;
};

} // namespace almondgate::policy

#endif
