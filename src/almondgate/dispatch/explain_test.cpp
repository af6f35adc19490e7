#include "test_jobs.hpp"

using namespace almondgate;
using namespace almondgate::dispatch;
using jobs::ExplainRequest;

namespace {

ExplainRequest submission(const jobs::JobSpec &spec) {
  ExplainRequest out;
  out.Queue = core::QueueId("q");
  out.Team = core::TeamId("t");
  out.Spec = spec;
  return out;
}

std::map<jobs::EndpointId, int64_t> runsByEndpoint(Fleet &fleet) {
  std::map<jobs::EndpointId, int64_t> out;
  for (const auto &vm : fleet.VmIds)
    if (const auto &endpoint = fleet.endpointOf(vm); !endpoint.Runs.empty())
      out[endpoint.Facts.Id] = int64_t(endpoint.Runs.size());
  return out;
}

} // namespace

// Guards against an explanation that differs from what a submission does, and
// against one that changes the fleet.
TEST_CASE("explain: a job starts where its explanation says") {
  Fleet fleet(4);
  fleet.submit(jobId(1), oneStep(3, 20, 10000));
  fleet.advance(100);
  const auto spec = oneStep(8, 10, 5000);
  const auto before = fleet.ledger();
  const auto running = fleet.running();
  const auto found = fleet.dispatcher().explain(submission(spec));
  REQUIRE(bool(found));
  CHECK(found.value().Accepted);
  CHECK(found.value().Pool == core::PoolId("p"));
  REQUIRE(found.value().Steps.size() == 1);
  const auto &step = found.value().Steps[0];
  CHECK(step.Waiting == 0);
  fleet.advance(200);
  CHECK(fleet.ledger() == before);
  CHECK(fleet.running() == running);

  auto expected = runsByEndpoint(fleet);
  for (const auto &[id, n] : step.Starts)
    expected[id] += n;
  fleet.submit(jobId(2), spec);
  fleet.advance(100);
  CHECK(runsByEndpoint(fleet) == expected);
  fleet.checkViolations();
}

TEST_CASE("explain: endpoints that are passed over, and tasks that wait") {
  Fleet fleet(8); // four VMs in each of the zones z0 and z1
  fleet.submit(jobId(1), oneStep(4, 64, 20000));
  fleet.drain(fleet.VmIds[7]);
  fleet.advance(200);
  auto spec = oneStep(8, 64, 1000);
  spec.Steps.push_back(testStep(2, 1, 100));
  spec.Steps[1].After = {0};
  const auto found = fleet.dispatcher().explain(submission(spec));
  REQUIRE(bool(found));
  const auto &steps = found.value().Steps;
  REQUIRE(steps.size() == 2);
  int64_t starts = 0;
  for (const auto &[id, n] : steps[0].Starts)
    starts += n;
  CHECK(starts + steps[0].Waiting == 8);
  CHECK(steps[0].WaitReason == "no endpoint has room");
  CHECK(steps[0].PassedOver.at("draining") == 1);
  CHECK(steps[0].PassedOver.at("without room") == 4);
  CHECK(steps[1].Waiting == 2);
  CHECK(steps[1].WaitReason == "steps that it depends on have not ended");
}

TEST_CASE("explain: an open job") {
  Fleet fleet(1);
  fleet.submit(jobId(1), oneStep(3, 40, 20000));
  fleet.advance(200);
  ExplainRequest request;
  request.Job = jobs::JobId(jobId(1));
  const auto found = fleet.dispatcher().explain(request);
  REQUIRE(bool(found));
  CHECK(found.value().Steps.at(0).Waiting == 2);
  CHECK(found.value().Steps.at(0).Starts.empty());
}

TEST_CASE("explain: what is not known or not valid is refused") {
  Fleet fleet(1);
  const auto code_of = [&](const ExplainRequest &request) {
    const auto found = fleet.dispatcher().explain(request);
    REQUIRE_FALSE(bool(found));
    return found.error().Code;
  };
  ExplainRequest request;
  request.Job = jobs::JobId(jobId(9));
  CHECK(code_of(request) == core::ErrorCode::NotFound);
  request = submission(oneStep(1, 1, 100));
  request.Queue = core::QueueId("none");
  CHECK(code_of(request) == core::ErrorCode::NotFound);
  request = submission(oneStep(1, 1, 100));
  request.Team = core::TeamId("none");
  CHECK(code_of(request) == core::ErrorCode::NotFound);
  CHECK(code_of(submission({})) == core::ErrorCode::InvalidArgument);
  fleet.MayAct = false;
  CHECK(code_of(submission(oneStep(1, 1, 100))) == core::ErrorCode::NotLeader);
}
