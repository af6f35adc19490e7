#include "step_candidates.hpp"

#include "run_accounting.hpp"

#include <algorithm>

namespace almondgate::dispatch {

namespace {

template <class Key>
int64_t countOf(const std::map<Key, int64_t> &counts, const Key &key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

} // namespace

bool hasLabel(const EndpointView &endpoint, const std::string &label) {
  const auto &labels = endpoint.Facts.Labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

StepCandidates::StepCandidates(const jobs::StepSpec &step) : Step(&step) {
  Need.Need = requiredCapacity(step);
  Need.LongRunning = step.LongRunning;
  Need.MaxStepTasks = policy::maxTasksPerEndpoint(step.Count, step.MayMiss);
}

void StepCandidates::recordRunningTask(const EndpointView &endpoint) {
  ++Running[endpoint.Facts.Id];
  ++RunningOnRack[endpoint.Facts.Rack];
}

// Long-running tasks may use all of a cold endpoint: their availability comes
// first. A task that is larger than the usable part of an idle one may run
// there alone, so that a pool whose VMs are all cold serves it.
core::Size StepCandidates::freeFor(const EndpointView &endpoint) const {
  if (!endpoint.Cold || Step->LongRunning)
    return endpoint.Facts.Capacity - endpoint.Used;
  const core::Size usable = freeCapacity(endpoint);
  const bool alone =
      endpoint.Used.MilliCpus == 0 && !core::fits(Need.Need, usable) &&
      core::fits(Need.Need, endpoint.Facts.Capacity - endpoint.Used);
  return alone ? Need.Need : usable;
}

void StepCandidates::addIfEligible(EndpointView &endpoint) {
  const auto &facts = endpoint.Facts;
  policy::PlacementOption option;
  option.Free = freeFor(endpoint);
  option.Cold = endpoint.Cold;
  option.SameStep = Running.empty() ? 0 : countOf(Running, facts.Id);
  const bool at_limit =
      Step->AntiAffinity > 0 && option.SameStep >= Step->AntiAffinity;
  if (at_limit || !core::fits(Need.Need, option.Free) ||
      !hasLabel(endpoint, Step->Label))
    return;
  option.Capacity = facts.Capacity;
  option.NearData = hasLabel(endpoint, Step->Affinity.str());
  option.SameStepOnRack =
      RunningOnRack.empty() ? 0 : countOf(RunningOnRack, facts.Rack);
  option.LongRunningTasks = endpoint.LongRunningCount;
  option.ConsecutiveFailures = endpoint.FailuresInRow;
  Endpoints.push_back(&endpoint);
  Options.push_back(option);
}

EndpointView *StepCandidates::allocate(const ChooseEndpoint &choose) {
  const auto chosen = choose(Options, Need);
  if (!chosen)
    return nullptr;
  EndpointView *at = Endpoints[*chosen];
  auto &option = Options[*chosen];
  option.Free = option.Free - Need.Need;
  ++option.SameStep;
  option.LongRunningTasks += Need.LongRunning ? 1 : 0;
  for (size_t i = 0; Need.LongRunning && i < Options.size(); ++i)
    Options[i].SameStepOnRack +=
        Endpoints[i]->Facts.Rack == at->Facts.Rack ? 1 : 0;
  if (Step->AntiAffinity > 0 && option.SameStep >= Step->AntiAffinity) {
    Endpoints.erase(Endpoints.begin() + int64_t(*chosen));
    Options.erase(Options.begin() + int64_t(*chosen));
  }
  return at;
}

} // namespace almondgate::dispatch
