#ifndef ALMONDGATE_POLICY_REFUSAL_HISTORY_HPP
#define ALMONDGATE_POLICY_REFUSAL_HISTORY_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/jobs/ids.hpp"

#include <map>
#include <set>
#include <string>

namespace almondgate::policy {

/// When refused jobs were first sent, so that one that comes back is judged by
/// the time that its caller has waited. Bounded by age and by number.
class RefusalHistory {
public:
  /// A job was refused to a call now; its first refusal counts.
  void recordRefusal(const jobs::JobId &id, const std::string &call,
                     core::TimeMs now);

  /// The job was refused to this call: what its caller was told stays true.
  bool wasRefused(const jobs::JobId &id, const std::string &call) const;

  /// When the job was first refused; `now` for one that never was.
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
