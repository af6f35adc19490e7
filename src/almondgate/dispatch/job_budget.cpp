#include "almondgate/dispatch/job_budget.hpp"
#include "almondgate/policy/job_room.hpp"

#include <utility>

namespace almondgate::dispatch {

JobBudget::JobBudget(size_t limit_bytes, const jobs::Ledger &ledger)
    : Ledger(ledger), Budget(limit_bytes) {
  recount();
}

policy::JobAdmissionDecision JobBudget::admit() {
  auto decision = policy::decideJobRoom(Budget.used(), Budget.limit());
  if (!decision.Accept)
    Budget.countRefusal();
  return decision;
}

void JobBudget::add(const jobs::JobId &id, const jobs::JobSpec &spec) {
  set(id, {policy::jobBytes(spec, false), false});
}

// The ledger applies all events of a batch before the first of them is reported
// here, so that the record may be further on than the event, or gone.
void JobBudget::onEventApplied(const jobs::Event &event) {
  if (const auto *accepted = std::get_if<jobs::JobAccepted>(&event))
    update(accepted->Id, true);
  else if (const auto *cancelled = std::get_if<jobs::JobCancelled>(&event))
    update(cancelled->Id);
  else if (const auto *ended = std::get_if<jobs::TaskEnded>(&event))
    update(ended->Job);
  else if (std::holds_alternative<jobs::JobsExpired>(event))
    removeForgotten();
}

void JobBudget::recount() {
  for (const auto &[id, entry] : std::exchange(Entries, {}))
    Budget.release(entry.Bytes);
  for (const auto &[id, record] : Ledger.Jobs)
    update(id);
}

void JobBudget::update(const jobs::JobId &id, bool accepted) {
  const auto *record = jobs::findJob(Ledger, id);
  const auto it = Entries.find(id);
  if (!record) {
    if (it == Entries.end())
      return;
    Budget.release(it->second.Bytes);
    Entries.erase(it);
    return;
  }
  const bool ended = !record->isOpen();
  if (accepted || it == Entries.end() || it->second.Ended != ended)
    set(id, {policy::jobBytes(*record->Spec, ended), ended});
}

void JobBudget::set(const jobs::JobId &id, const Entry &entry) {
  Entry &kept = Entries[id];
  Budget.release(kept.Bytes);
  Budget.add(entry.Bytes);
  kept = entry;
}

void JobBudget::removeForgotten() {
  std::erase_if(Entries, [this](const auto &row) {
    const auto &[id, entry] = row;
    const bool forgotten = entry.Ended && !Ledger.Jobs.contains(id);
    if (forgotten)
      Budget.release(entry.Bytes);
    return forgotten;
  });
}

size_t countJobBytes(const jobs::Ledger &ledger) {
  size_t bytes = 0;
  for (const auto &[id, record] : ledger.Jobs)
    bytes += policy::jobBytes(*record.Spec, !record.isOpen());
  return bytes;
}

} // namespace almondgate::dispatch
