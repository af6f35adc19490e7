#include "almondgate/entry/job_api.hpp"
#include "almondgate/jobs/job_limits.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace almondgate;
using namespace almondgate::entry;

TEST_CASE("a job with too much content is not passed on") {
  std::optional<jobs::JobCall> passed;
  JobApiHooks hooks;
  hooks.Call = [&](const jobs::JobCall &call, const auto &done) {
    passed = call;
    done(jobs::JobReply{.Outcome = jobs::JobOutcome::Invalid,
                        .Text = call.SpecError});
  };
  const JobApi api(std::move(hooks));
  const auto submit = [&](size_t bytes) {
    http::Request request;
    request.Method = "POST";
    request.Target = "/jobs/q/00000000000000aa";
    request.Body = R"({"Content":")" + std::string(bytes, 'x') +
                   R"(","Steps":[{"Count":1}]})";
    int status = 0;
    api.handle(request,
               [&](const http::Response &reply) { status = reply.Status; });
    CHECK(status == 400);
    REQUIRE(passed.has_value());
    return *passed;
  };
  CHECK(submit(jobs::MaxContentBytes).SpecError.empty());
  const auto refused = submit(jobs::MaxContentBytes + 1);
  CHECK_FALSE(refused.SpecError.empty());
  CHECK(refused.Spec == jobs::JobSpec());
}
