#include "almondgate/endpoint/rpc_gateway.hpp"
#include "almondgate/endpoint/run_codec.hpp"

namespace almondgate::endpoint {

using core::DurationMs;
using core::Result;
using dispatch::OrderReply;
using dispatch::OrderResult;
using dispatch::RenewReply;
using protocol::Method;
using protocol::RpcClient;

namespace {

constexpr DurationMs OrderTimeout{500};
constexpr DurationMs RenewMargin{500};

} // namespace

RpcGateway::RpcGateway(task::Loop &loop, const protocol::RpcOptions &options,
                       size_t order_bytes)
    : Orders(order_bytes), Rpc(loop, options) {}

// After an error the order may still have been carried out; the default reply
// leaves it to the dispatcher to find out.
void RpcGateway::sendOrder(const core::Address &to, Method method,
                           std::string body, const RpcClient::MaySend &may_send,
                           const std::function<void(OrderReply)> &done) {
  const size_t held = dispatch::OrderBudget::OrderBytes + body.size();
  Orders.add(held);
  Rpc.call(
      to, method, std::move(body), OrderTimeout,
      [this, held, done](const Result<std::string> &reply) {
        Orders.release(held);
        if (!reply && reply.error().Code == core::ErrorCode::Cancelled) {
          done(OrderReply{OrderResult::NotSent, {}});
          return;
        }
        const auto read = reply ? decodeRun<OrderReply>(reply.value())
                                : Result<OrderReply>(reply.error());
        done(read ? read.value() : OrderReply{});
      },
      may_send);
}

dispatch::DispatcherHooks RpcGateway::hooks() {
  dispatch::DispatcherHooks hooks;
  hooks.HasRoomForStarts = [this](size_t n) {
    return Orders.hasRoomForStarts(n);
  };
  hooks.HasRoomForStop = [this] { return Orders.hasRoomForStop(); };
  hooks.Start = [this](const auto &to, const auto &start, auto may_send,
                       auto done) {
    sendOrder(to.At, Method::StartRun, encodeRun(start), may_send, done);
  };
  hooks.Stop = [this](const auto &to, const auto &stop, auto may_send,
                      auto done) {
    sendOrder(to.At, Method::StopRun, encodeRun(stop), may_send, done);
  };
  hooks.Pace = [this](const auto &to, const auto &pace, auto done) {
    sendOrder(to.At, Method::PaceRun, encodeRun(pace), {}, done);
  };
  hooks.Renew = [this](const auto &to, const auto &request, auto may_send,
                       auto done) {
    const DurationMs timeout = DurationMs{request.WaitMs} + RenewMargin;
    Rpc.call(
        to.At, Method::RenewRuns, encodeRun(request), timeout,
        [done](const Result<std::string> &reply) {
          using dispatch::RunInventory;
          const auto read = reply ? decodeRun<RunInventory>(reply.value())
                                  : Result<RunInventory>(reply.error());
          done(read ? RenewReply{OrderResult::Accepted, read.value()}
                    : RenewReply{});
        },
        std::move(may_send));
  };
  return hooks;
}

} // namespace almondgate::endpoint
