#include "almondgate/protocol/evacuation_call.hpp"
#include "almondgate/jobs/evacuation_list.hpp"
#include "almondgate/protocol/reply_decoding.hpp"

#include <memory>

namespace almondgate::protocol {

using core::DurationMs;
using core::Error;
using core::ErrorCode;
using core::Result;

namespace {

constexpr DurationMs MaxDuration{1000};
constexpr DurationMs RetryDelay{20};

/// One call of an operator. Its callbacks keep it alive.
class EvacuationCall : public std::enable_shared_from_this<EvacuationCall> {
public:
  EvacuationCall(EvacuationCallHooks hooks, jobs::EvacuationChange change,
                 std::function<void(core::Status)> done)
      : Hooks(std::move(hooks)), Change(std::move(change)),
        Done(std::move(done)), Deadline(Hooks.Now() + MaxDuration) {}

  void read() {
    if (!mayGoOn())
      return;
    Hooks.CallLeader(Method::ListEvacuations, "",
                     [self = shared_from_this()](const auto &reply) {
                       self->onRead(reply);
                     });
  }

private:
  /// Ends the call once it is not wanted, or too old.
  bool mayGoOn() {
    if (!Hooks.IsWanted()) {
      Done(Error{ErrorCode::Cancelled, "the caller is gone"});
      return false;
    }
    if (Hooks.Now() < Deadline)
      return true;
    Done(LastError);
    return false;
  }

  void onRead(const Result<std::string> &reply) {
    const auto list = decodeReply<jobs::EvacuationList>(reply);
    if (!list) {
      retry(list.error());
      return;
    }
    if (!mayGoOn())
      return;
    Change.Basis = list.value().Basis;
    Hooks.CallLeader(Method::SetEvacuation, encoding::encode(Change),
                     [self = shared_from_this()](const auto &answer) {
                       self->onChanged(answer);
                     });
  }

  void onChanged(const Result<std::string> &reply) {
    if (reply)
      Done(core::ok());
    else if (reply.error().Code == ErrorCode::InvalidArgument ||
             reply.error().Code == ErrorCode::NeverFits)
      Done(reply.error());
    else
      retry(reply.error());
  }

  void retry(const Error &error) {
    LastError.Text = "the change is not confirmed: " + error.Text;
    Hooks.Defer(RetryDelay, [self = shared_from_this()] { self->read(); });
  }

  const EvacuationCallHooks Hooks;
  jobs::EvacuationChange Change;
  const std::function<void(core::Status)> Done;
  const core::TimeMs Deadline;
  Error LastError{ErrorCode::Unavailable, "the call took too long",
                  core::RunOutcome::Unknown};
};

} // namespace

void changeEvacuation(const EvacuationCallHooks &hooks,
                      const jobs::EvacuationChange &change,
                      std::function<void(core::Status)> done) {
  std::make_shared<EvacuationCall>(hooks, change, std::move(done))->read();
}

} // namespace almondgate::protocol
