#include "almondgate/entry/evacuation_api.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <vector>

using namespace almondgate;
using namespace almondgate::entry;

namespace {

/// Passes requests of the operator "ann" to an API whose leader accepts all.
struct Harness {
  std::vector<jobs::EvacuationChange> Changes;
  jobs::EvacuationList List;

  http::Response call(const std::string &method, const std::string &target,
                      const std::string &body = R"({"Reason":"fire"})",
                      bool is_operator = true) {
    EvacuationApiHooks hooks;
    hooks.Authenticate = [&](const http::Request &) {
      return is_operator
                 ? core::Result<core::OperatorId>(core::OperatorId("ann"))
                 : core::Error{core::ErrorCode::Unauthenticated, "no key"};
    };
    hooks.Change = [&](const auto &change, const auto &, const auto &done) {
      Changes.push_back(change);
      done(core::ok());
    };
    hooks.List = [&](const auto &done) { done(List); };
    http::Request request;
    request.Method = method;
    request.Target = target;
    request.Body = body;
    http::Response out;
    EvacuationApi(std::move(hooks))
        .handle(
            request, [] { return true; },
            [&](const http::Response &response) { out = response; });
    return out;
  }
};

} // namespace

TEST_CASE("an operator evacuates a zone for a reason") {
  Harness api;
  CHECK(api.call("PUT", "/admin/v1/evacuations/a%20b").Status == 200);
  CHECK(api.call("DELETE", "/admin/v1/evacuations/z").Status == 200);
  REQUIRE(api.Changes.size() == 2);
  const jobs::EvacuationChange first{
      core::ZoneId("a b"), true, "ann", "fire", {}};
  CHECK(api.Changes[0] == first);
  CHECK_FALSE(api.Changes[1].Evacuate);
}

// Guards against changes without a known author or reason, and against names
// that no endpoint reports.
TEST_CASE("evacuations without a key, a reason or a valid zone are refused") {
  Harness api;
  const std::string path = "/admin/v1/evacuations/z";
  CHECK(api.call("PUT", path, R"({"Reason":"x"})", false).Status == 401);
  CHECK(api.call("GET", "/admin/v1/evacuations", "", false).Status == 401);
  for (const char *body :
       {"", "{}", "[]", R"({"Reason":""})", R"({"Reason":5})",
        R"({"Reason":"x","Zone":"y"})", R"({"Reason":"a\nb"})", "\xff"})
    CHECK(api.call("PUT", path, body).Status == 400);
  for (const char *zone : {"", "/", "/a/b", "/a%2Fb", "/%00"})
    CHECK(api.call("PUT", std::string("/admin/v1/evacuations") + zone).Status ==
          400);
  CHECK(api.call("POST", path).Status == 400);
  CHECK(api.Changes.empty());
  CHECK(EvacuationApi::serves(path));
  CHECK_FALSE(EvacuationApi::serves("/admin/v1/evacuationsz"));
}

TEST_CASE("open evacuations are listed with the runs that remain") {
  Harness api;
  const core::ZoneId zone("z");
  api.List.Zones[zone] = {"ann", "fire", 7};
  api.List.Zones[core::ZoneId("other")] = {"bob", "", 8};
  api.List.Remaining = {{jobs::EndpointId("e"), zone, 2, 1}};
  const auto answer = api.call("GET", "/admin/v1/evacuations", "");
  REQUIRE(answer.Status == 200);
  const auto rows = nlohmann::json::parse(answer.Body);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0]["Zone"] == "other");
  CHECK(rows[0]["Remaining"].empty());
  CHECK(rows[1]["Reason"] == "fire");
  CHECK(rows[1]["Remaining"][0]["ShortRuns"] == 2);
}
