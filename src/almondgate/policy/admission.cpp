#include "almondgate/policy/admission.hpp"
#include "almondgate/core/digest.hpp"

#include <algorithm>

namespace almondgate::policy {

using core::Error;
using core::ErrorCode;

namespace {

core::Status checkKey(const model::View &view, const model::Queue &queue,
                      const std::string &key) {
  if (key.empty() && queue.Open)
    return core::ok();
  if (key.empty())
    return Error{ErrorCode::Unauthenticated, "this queue needs a key"};
  const core::KeyHash hash(core::sha256Hex(key));
  const auto *found = model::find(view.Keys, hash);
  if (!found)
    return Error{ErrorCode::Unauthenticated, "the key is not valid"};
  if (found->Team != queue.Team && !queue.Open)
    return Error{ErrorCode::Forbidden, "the key belongs to another team"};
  return core::ok();
}

// VMs that have not announced themselves yet have no capacity; a pool of only
// such VMs can't tell what fits.
bool fitsSomeVm(const model::View &view, const core::PoolId &pool,
                const core::Size &need) {
  bool known = false;
  for (const auto &[id, vm] : view.Vms) {
    if (vm->Pool != pool || vm->Capacity.Slots == 0)
      continue;
    known = true;
    if (core::fits(need, vm->Capacity))
      return true;
  }
  return !known;
}

} // namespace

core::Result<Admission> admit(const model::View &view,
                              const AdmissionRequest &request) {
  const auto *queue = model::find(view.Queues, request.Queue);
  if (!queue)
    return Error{ErrorCode::NotFound, "no queue '" + request.Queue.str() + "'"};
  if (auto good = checkKey(view, *queue, request.Key); !good)
    return good.error();
  Admission out{queue->Team, queue->Pool, request.Class.value_or(queue->Class),
                request.Need.value_or(queue->DefaultSize)};
  if (!fitsSomeVm(view, out.Pool, out.Need))
    return Error{ErrorCode::NeverFits,
                 "no VM of pool '" + out.Pool.str() + "' is large enough"};
  return out;
}

} // namespace almondgate::policy
