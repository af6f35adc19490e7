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
    return Error{ErrorCode::Unauthenticated,
                 "queue '" + queue.Id.str() + "' requires an API key"};
  const core::KeyHash hash(core::sha256Hex(key));
  const auto *found = model::find(view.Keys, hash);
  if (!found)
    return Error{ErrorCode::Unauthenticated, "the API key is not valid"};
  if (found->Team != queue.Team && !queue.Open)
    return Error{ErrorCode::Forbidden,
                 "the API key does not belong to the team of queue '" +
                     queue.Id.str() + "'"};
  return core::ok();
}

// The capacity of a VM is zero until its endpoint has registered. If that holds
// for all VMs of the pool, any request is assumed to fit.
bool fitsAnyVm(const model::View &view, const core::PoolId &pool,
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

std::string textOf(const core::Size &size) {
  return std::to_string(size.Slots) + " slots, " +
         std::to_string(size.MilliCpus) + " millicores, " +
         std::to_string(size.MemoryMb) + " MB and " +
         std::to_string(size.Accelerators) + " accelerators";
}

} // namespace

core::Result<Admission> admit(const model::View &view,
                              const AdmissionRequest &request) {
  const auto *queue = model::find(view.Queues, request.Queue);
  if (!queue)
    return Error{ErrorCode::NotFound,
                 "unknown queue '" + request.Queue.str() + "'"};
  if (auto good = checkKey(view, *queue, request.Key); !good)
    return good.error();
  Admission out{queue->Team, queue->Pool, request.Class.value_or(queue->Class),
                request.Need.value_or(queue->DefaultSize)};
  if (!fitsAnyVm(view, out.Pool, out.Need))
    return Error{ErrorCode::NeverFits, "no VM of pool '" + out.Pool.str() +
                                           "' is large enough for " +
                                           textOf(out.Need)};
  return out;
}

} // namespace almondgate::policy
