#include "almondgate/encoding/codec.hpp"
#include "almondgate/entry/send_job_call.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/loop.hpp"

#include "tests/free_address.hpp"

#include <doctest/doctest.h>

using namespace almondgate;

TEST_CASE("all attempts of a call share one id, and each call has its own") {
  task::Loop loop;
  const auto at = testing::freeAddress();
  std::vector<std::string> names;
  protocol::RpcServer server(
      loop, {"secret"},
      {[&](protocol::Method, const std::string &body,
           const protocol::Responder &respond) {
         names.push_back(encoding::decode<jobs::JobCall>(body).value().Call);
         // The first attempt of each call is refused.
         if (names.size() % 2 == 1)
           respond(core::Error{core::ErrorCode::NotLeader, "not yet"});
         else
           respond(encoding::encode(jobs::JobReply{}));
       },
       [](const std::string &) {}});
  REQUIRE(bool(server.listen(at)));
  protocol::RpcClient rpc(loop, {"secret"});
  watch::ControlClient control(loop, rpc, {at});
  const auto call = [&] {
    bool good = false;
    entry::sendJobCall(control, {}, {5000}, [&](const auto &reply) {
      good = bool(reply);
      loop.stop();
    });
    loop.run();
    CHECK(good);
  };
  call();
  call();
  REQUIRE(names.size() == 4);
  CHECK(!names[0].empty());
  CHECK(names[0] == names[1]);
  CHECK(names[2] == names[3]);
  CHECK(names[0] != names[2]);
}
