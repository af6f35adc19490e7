#include "almondgate/policy/refusal_history.hpp"

namespace almondgate::policy {

namespace {

// Entries older than this may be evicted; callers stop resubmitting a job long
// before.
constexpr core::DurationMs MaxAge{30000};
// Far more than a burst of refusals; an entry takes about 100 bytes, so that
// the memory use stays small.
constexpr size_t MaxJobs = 20000;
// Calls remembered per job; callers resubmit a job only a few times.
constexpr size_t MaxCallsPerJob = 16;

} // namespace

void RefusalHistory::recordRefusal(const jobs::JobId &id,
                                   const std::string &call, core::TimeMs now) {
  if (Refused.size() >= MaxJobs)
    std::erase_if(Refused, [&](const auto &row) {
      return now - row.second.First >= MaxAge;
    });
  const auto it = Refused.find(id);
  if (it == Refused.end() && Refused.size() >= MaxJobs)
    return;
  Refusals &refusals =
      it == Refused.end() ? Refused.emplace(id, Refusals{now, {}}).first->second
                          : it->second;
  if (!call.empty() && refusals.Calls.size() < MaxCallsPerJob)
    refusals.Calls.insert(call);
}

bool RefusalHistory::wasRefused(const jobs::JobId &id,
                                const std::string &call) const {
  const auto it = Refused.find(id);
  return it != Refused.end() && it->second.Calls.contains(call);
}

core::TimeMs RefusalHistory::firstSentAt(const jobs::JobId &id,
                                         core::TimeMs now) const {
  const auto it = Refused.find(id);
  return it == Refused.end() ? now : it->second.First;
}

} // namespace almondgate::policy
