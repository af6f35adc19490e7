#ifndef ALMONDGATE_SRC_DISPATCH_READY_STEP_HPP
#define ALMONDGATE_SRC_DISPATCH_READY_STEP_HPP

#include "almondgate/dispatch/dispatcher.hpp"

#include <tuple>

namespace almondgate::dispatch {

/// One occurrence of a step, with tasks that may start now.
struct Dispatcher::ReadyStep {
  OpenJob *Job = nullptr;
  const jobs::JobRecord *Record = nullptr;
  int64_t Occurrence = 0;
  int64_t Step = 0;
  /// Index of its first task in OpenJob::Tasks.
  size_t First = 0;
  const jobs::StepSpec *Spec = nullptr;
  /// Time left until the step must start for the job to meet its due time;
  /// negative once that has passed.
  int64_t SlackMs = 0;

  /// Since when tasks of the step wait for a nearby place; later than any time
  /// if none do.
  core::TimeMs nearWaitSince() const {
    constexpr core::TimeMs Never{INT64_MAX};
    if (Job->NearWaits.empty())
      return Never;
    const auto it = Job->NearWaits.find({Occurrence, Step});
    return it == Job->NearWaits.end() || it->second.Waiting == 0
               ? Never
               : it->second.Since;
  }

  /// Sort key: long-running work first, fill work last. Within each group,
  /// steps that wait for a nearby place come first, in the order in which their
  /// waits began: they could have started before, and their expected waits hold
  /// only if no later step overtakes them. Then steps that can meet their due
  /// time come first, the most urgent one first, and then late steps, the one
  /// with the shortest delay first.
  auto rank() const {
    const bool late = SlackMs < 0;
    return std::make_tuple(!Spec->LongRunning, Spec->Fills, nearWaitSince(),
                           late, late ? -SlackMs : SlackMs);
  }

  /// Steps of equal rank are placed in the order of their jobs' ids, so that
  /// the order does not depend on how the steps were collected.
  bool operator<(const ReadyStep &other) const {
    const auto own = rank();
    const auto others = other.rank();
    if (own != others)
      return own < others;
    return std::tie(Record->Id, Occurrence, Step) <
           std::tie(other.Record->Id, other.Occurrence, other.Step);
  }
};

} // namespace almondgate::dispatch

#endif
