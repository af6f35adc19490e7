#include "almondgate/policy/refusal_history.hpp"

namespace almondgate::policy {

namespace {

// Callers give a job up long before.
constexpr core::DurationMs LongestReturn{30000};
// Some 100 bytes each: far more than a burst's refusals, far less than memory.
constexpr size_t MostRefused = 20000;
// Callers return a few times.
constexpr size_t MostCalls = 16;

} // namespace

void RefusalHistory::recordRefusal(const jobs::JobId &id,
                                   const std::string &call, core::TimeMs now) {
  if (Refused.size() >= MostRefused)
    std::erase_if(Refused, [&](const auto &row) {
      return now - row.second.First >= LongestReturn;
    });
  const auto it = Refused.find(id);
  if (it == Refused.end() && Refused.size() >= MostRefused)
    return;
  Refusals &refusals =
      it == Refused.end() ? Refused.emplace(id, Refusals{now, {}}).first->second
                          : it->second;
  if (!call.empty() && refusals.Calls.size() < MostCalls)
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
