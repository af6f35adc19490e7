#ifndef ALMONDGATE_DISPATCH_JOB_BUDGET_HPP
#define ALMONDGATE_DISPATCH_JOB_BUDGET_HPP

#include "almondgate/core/budget_reading.hpp"
#include "almondgate/jobs/ledger.hpp"
#include "almondgate/policy/job_admission.hpp"

#include <map>

namespace almondgate::dispatch {

/// Counts the bytes of the jobs in the ledger, and of those whose acceptance is
/// not durable yet, against a limit.
class JobBudget {
public:
  JobBudget(size_t limit_bytes, const jobs::Ledger &ledger);

  /// Decides whether another job may be accepted, and counts a refusal.
  policy::JobAdmissionDecision admit();

  /// Counts a job whose acceptance is being made durable.
  void add(const jobs::JobId &id, const jobs::JobSpec &spec);

  /// Brings the count up to date after an event was applied to the ledger.
  void onEventApplied(const jobs::Event &event);

  /// Counts anew from the ledger, without acceptances that are not durable.
  void recount();

  size_t used() const { return Budget.used(); }
  core::BudgetReading reading() const { return readBudget("jobs", Budget); }

private:
  struct Entry {
    size_t Bytes = 0;
    bool Ended = false;
  };

  /// `accepted`: the record may be of another job than the one counted.
  void update(const jobs::JobId &id, bool accepted = false);
  void set(const jobs::JobId &id, const Entry &entry);
  void removeForgotten();

  const jobs::Ledger &Ledger;
  core::ByteBudget Budget;
  std::map<jobs::JobId, Entry> Entries;
};

/// Sums the bytes of all jobs in the ledger.
size_t countJobBytes(const jobs::Ledger &ledger);

} // namespace almondgate::dispatch

#endif
