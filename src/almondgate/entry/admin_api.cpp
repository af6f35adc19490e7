#include "almondgate/entry/admin_api.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/entry/front_end.hpp"
#include "almondgate/model/record_list.hpp"
#include "almondgate/state/state.hpp"

#include <cstring>

namespace almondgate::entry {

using core::Error;
using core::ErrorCode;
using core::Result;

namespace {

constexpr const char *HoldupsPrefix = "wave-holdups/";

template <class T>
void respondWith(const AdminApi::Respond &respond, const Result<T> &result) {
  if (result)
    respond(http::jsonResponse(200, encoding::toJson(result.value())));
  else
    respond(http::problemResponse(result.error()));
}

void respondChange(const AdminApi::Respond &respond,
                   const Result<state::ChangeResult> &result) {
  if (result && !result.value().Accepted) {
    const int status = http::statusOf(result.value().Refusal);
    respond(http::jsonResponse(status, encoding::toJson(result.value())));
    return;
  }
  respondWith(respond, result);
}

} // namespace

AdminApi::AdminApi(std::map<std::string, core::OperatorId> operators,
                   AdminHooks hooks)
    : Operators(std::move(operators)), Hooks(std::move(hooks)) {}

Result<core::OperatorId>
AdminApi::authenticate(const http::Request &request) const {
  const std::string key = bearerKey(request.Headers);
  const auto it = Operators.find(core::sha256Hex(key));
  if (key.empty() || it == Operators.end())
    return Error{ErrorCode::Unauthenticated, "an operator's key is needed"};
  return it->second;
}

void AdminApi::handle(const http::Request &request, const Respond &respond) {
  const auto who = authenticate(request);
  if (!who) {
    respond(http::problemResponse(who.error()));
    return;
  }
  const std::string path = request.Target.substr(std::strlen(AdminPrefix));
  if (request.Method == "GET")
    get(path, respond);
  else if (request.Method == "POST")
    post(who.value(), path, request.Body, respond);
  else
    respond(http::problemResponse({ErrorCode::NotFound, "GET or POST"}));
}

void AdminApi::get(const std::string &path, const Respond &respond) {
  if (path == "audit") {
    Hooks.Audit([respond](const auto &r) { respondWith(respond, r); });
    return;
  }
  if (path == "members") {
    Hooks.Members([respond](const auto &r) { respondWith(respond, r); });
    return;
  }
  if (path.rfind(HoldupsPrefix, 0) == 0) {
    const core::WaveId wave(path.substr(std::strlen(HoldupsPrefix)));
    Hooks.WaveHoldups(wave,
                      [respond](const auto &r) { respondWith(respond, r); });
    return;
  }
  if (!Hooks.IsFresh()) {
    respond(http::problemResponse(
        {ErrorCode::Stale, "no word from the control members"}));
    return;
  }
  const auto list = model::listRecords(Hooks.View(), path);
  if (list)
    respond(http::jsonResponse(200, encoding::toJson(*list)));
  else
    respond(http::problemResponse(
        {ErrorCode::NotFound, "nothing at '" + path + "'"}));
}

void AdminApi::post(const core::OperatorId &who, const std::string &path,
                    const std::string &body, const Respond &respond) {
  if (path == "changes" || path == "changes?dry-run") {
    change(who, body, path != "changes", respond);
    return;
  }
  if (path != "members/replace") {
    respond(http::problemResponse(
        {ErrorCode::NotFound, "nothing at '" + path + "'"}));
    return;
  }
  const auto asked = encoding::fromJson<consensus::MemberReplacement>(body);
  if (!asked) {
    respond(http::problemResponse(asked.error()));
    return;
  }
  Hooks.Replace(asked.value(), [respond](const core::Status &status) {
    if (status)
      respond(http::jsonResponse(200, "{\"Done\": true}"));
    else
      respond(http::problemResponse(status.error()));
  });
}

void AdminApi::change(const core::OperatorId &who, const std::string &body,
                      bool dry_run, const Respond &respond) {
  auto asked = encoding::fromJson<state::Change>(body);
  if (!asked) {
    respond(http::problemResponse(asked.error()));
    return;
  }
  state::Change change = asked.value();
  change.Operator = who;
  change.AtWallMs = Hooks.WallClock();
  if (dry_run) {
    state::State trial;
    trial.View = Hooks.View();
    respondChange(respond, state::applyChange(trial, change, "").Result);
    return;
  }
  Hooks.Propose(change, [this, respond](const auto &result) {
    if (!result) {
      respondChange(respond, result);
      return;
    }
    // An operator who reads here next finds the change.
    Hooks.WhenApplied(result.value().Revision,
                      [respond, result] { respondChange(respond, result); });
  });
}

} // namespace almondgate::entry
