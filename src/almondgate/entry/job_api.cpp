#include "almondgate/entry/job_api.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/entry/front_end.hpp"
#include "almondgate/jobs/job_limits.hpp"

namespace almondgate::entry {

using core::ErrorCode;
using core::Result;
using jobs::JobOutcome;

namespace {

http::Response problem(ErrorCode code, const std::string &text,
                       core::RunOutcome outcome = core::RunOutcome::NotRun) {
  return http::problemResponse({code, text, outcome});
}

http::Response responseTo(const jobs::JobReply &reply) {
  switch (reply.Outcome) {
  case JobOutcome::Done:
  case JobOutcome::State:
  case JobOutcome::Count:
    return http::jsonResponse(200, encoding::toJson(reply));
  case JobOutcome::Refused:
    return problem(ErrorCode::Overloaded, reply.Text);
  case JobOutcome::NoQueue:
    return problem(ErrorCode::NotFound, "unknown queue");
  case JobOutcome::UnknownKey:
    return problem(ErrorCode::Unauthenticated, "a team's API key is required");
  case JobOutcome::NoJob:
    return problem(ErrorCode::NotFound, "unknown job");
  case JobOutcome::Invalid:
    return problem(ErrorCode::InvalidArgument, reply.Text);
  }
  return problem(ErrorCode::InvalidArgument, "unknown job outcome");
}

constexpr encoding::JsonBounds JobBounds{
    {}, jobs::MaxDependencies, jobs::MaxEncodedValues};

Result<jobs::JobSpec> readJob(const std::string &body) {
  auto spec = encoding::fromJson<jobs::JobSpec>(body, JobBounds);
  if (!spec)
    return spec;
  if (auto good = jobs::checkJob(spec.value()); !good)
    return good.error();
  return spec;
}

} // namespace

JobApi::JobApi(JobApiHooks hooks) : Hooks(std::move(hooks)) {}

bool JobApi::serves(const std::string &target) {
  return target.starts_with(JobsPrefix) || target == FleetPath ||
         target == ExplainPath;
}

void JobApi::handle(const http::Request &request,
                    const Respond &respond) const {
  if (request.Target == FleetPath)
    fleet(request, respond);
  else if (request.Target == ExplainPath)
    explain(request, respond);
  else
    job(request, respond);
}

void JobApi::job(const http::Request &request, const Respond &respond) const {
  jobs::JobCall call;
  call.Path = request.Target;
  call.Key = bearerKey(request.Headers);
  if (request.Method == "POST") {
    auto spec = readJob(request.Body);
    call.Verb = jobs::JobVerb::Submit;
    if (spec)
      call.Spec = std::move(spec.value());
    else
      call.SpecError = spec.error().Text;
  } else if (request.Method == "DELETE") {
    call.Verb = jobs::JobVerb::Cancel;
  } else if (request.Method != "GET") {
    respond(problem(ErrorCode::InvalidArgument,
                    "method " + request.Method +
                        " is not supported; use GET, POST or DELETE"));
    return;
  }
  Hooks.Call(call, [respond](const Result<jobs::JobReply> &reply) {
    respond(reply ? responseTo(reply.value())
                  : http::problemResponse(reply.error()));
  });
}

void JobApi::fleet(const http::Request &request, const Respond &respond) const {
  if (!Hooks.IsOperator(request)) {
    respond(problem(ErrorCode::Unauthenticated,
                    "an operator's API key is required"));
    return;
  }
  if (request.Method == "GET") {
    Hooks.ReadConfig([respond](const Result<jobs::FleetConfig> &config) {
      respond(config ? http::jsonResponse(200, encoding::toJson(config.value()))
                     : http::problemResponse(config.error()));
    });
    return;
  }
  const auto config = encoding::fromJson<jobs::FleetConfig>(request.Body);
  const auto good =
      config ? jobs::checkConfig(config.value()) : core::Status(config.error());
  if (!good) {
    respond(http::problemResponse(good.error()));
    return;
  }
  Hooks.Configure(config.value(), [respond](const core::Status &status) {
    respond(status ? http::jsonResponse(200, "{}")
                   : http::problemResponse(status.error()));
  });
}

void JobApi::explain(const http::Request &request,
                     const Respond &respond) const {
  if (!Hooks.IsOperator(request)) {
    respond(problem(ErrorCode::Unauthenticated,
                    "an operator's API key is required"));
    return;
  }
  if (request.Method != "POST") {
    respond(
        problem(ErrorCode::InvalidArgument,
                "method " + request.Method + " is not supported; use POST"));
    return;
  }
  const auto asked =
      encoding::fromJson<jobs::ExplainRequest>(request.Body, JobBounds);
  if (!asked) {
    respond(http::problemResponse(asked.error()));
    return;
  }
  Hooks.Explain(
      asked.value(), [respond](const Result<jobs::Explanation> &found) {
        respond(found ? http::jsonResponse(200, encoding::toJson(found.value()))
                      : http::problemResponse(found.error()));
      });
}

} // namespace almondgate::entry
