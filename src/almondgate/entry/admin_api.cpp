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
    return Error{ErrorCode::Unauthenticated,
                 "an operator's API key is required"};
  return it->second;
}

void AdminApi::handle(const http::Request &request, const Respond &respond) {
  const auto operator_id = authenticate(request);
  if (!operator_id) {
    respond(http::problemResponse(operator_id.error()));
    return;
  }
  const std::string path = request.Target.substr(std::strlen(AdminPrefix));
  if (request.Method == "GET")
    get(path, respond);
  else if (request.Method == "POST")
    post(operator_id.value(), path, request.Body, respond);
  else
    respond(http::problemResponse(
        {ErrorCode::NotFound,
         "method " + request.Method + " is not supported; use GET or POST"}));
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
        {ErrorCode::Stale, "the view is stale: no recent confirmation from the "
                           "control members"}));
    return;
  }
  const auto list = model::listRecords(Hooks.View(), path);
  if (list)
    respond(http::jsonResponse(200, encoding::toJson(*list)));
  else
    respond(http::problemResponse(
        {ErrorCode::NotFound, "no admin resource '" + path + "'"}));
}

void AdminApi::post(const core::OperatorId &operator_id,
                    const std::string &path, const std::string &body,
                    const Respond &respond) {
  if (path == "changes" || path == "changes?dry-run") {
    change(operator_id, body, path != "changes", respond);
    return;
  }
  if (path != "members/replace") {
    respond(http::problemResponse(
        {ErrorCode::NotFound, "no admin resource '" + path + "'"}));
    return;
  }
  const auto parsed = encoding::fromJson<consensus::MemberReplacement>(body);
  if (!parsed) {
    respond(http::problemResponse(parsed.error()));
    return;
  }
  Hooks.Replace(parsed.value(), [respond](const core::Status &status) {
    if (status)
      respond(http::jsonResponse(200, "{\"Done\": true}"));
    else
      respond(http::problemResponse(status.error()));
  });
}

void AdminApi::change(const core::OperatorId &operator_id,
                      const std::string &body, bool dry_run,
                      const Respond &respond) {
  auto parsed = encoding::fromJson<state::Change>(body);
  if (!parsed) {
    respond(http::problemResponse(parsed.error()));
    return;
  }
  state::Change change = parsed.value();
  change.Operator = operator_id;
  change.AtWallMs = Hooks.WallClock();
  if (dry_run) {
    state::State preview;
    preview.View = Hooks.View();
    respondChange(respond, state::applyChange(preview, change, "").Result);
    return;
  }
  Hooks.Propose(change, [this, respond](const auto &result) {
    if (!result) {
      respondChange(respond, result);
      return;
    }
    // Ensures that the operator's next read here shows the change.
    Hooks.WhenApplied(result.value().Revision,
                      [respond, result] { respondChange(respond, result); });
  });
}

} // namespace almondgate::entry
