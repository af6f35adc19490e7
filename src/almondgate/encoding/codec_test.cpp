#include "almondgate/consensus/message.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/state/state.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace almondgate;
using namespace almondgate::encoding;

namespace {

state::Change sampleChange() {
  state::Change out;
  out.Operator = core::OperatorId("ann");
  out.Number = 4;
  out.What = state::PutRecords{
      {model::Team{core::TeamId("t"), 2, 9},
       model::Queue{core::QueueId("q"), core::PoolId("p"), core::TeamId("t")}}};
  return out;
}

} // namespace

TEST_CASE("a decoded value equals the encoded one") {
  const auto change = sampleChange();
  CHECK(decode<state::Change>(encode(change)).value() == change);
  CHECK(fromJson<state::Change>(toJson(change)).value() == change);
  consensus::Message message;
  message.Kind = consensus::MessageKind::AppendReply;
  message.Entries = {
      {1, 2, consensus::EntryKind::Command, std::string("\0\xff\x80", 3)}};
  CHECK(decode<consensus::Message>(encode(message)).value() == message);
}

TEST_CASE("a decoded state equals the encoded one") {
  state::State state;
  REQUIRE(state::applyChange(state, sampleChange(), "d").Result.Accepted ==
          false);
  auto change = sampleChange();
  change.Number = 5;
  std::get<state::PutRecords>(change.What)
      .Records.insert(std::get<state::PutRecords>(change.What).Records.begin(),
                      model::Pool{core::PoolId("p")});
  REQUIRE(state::applyChange(state, change, "e").Result.Accepted);
  CHECK(decode<state::State>(encode(state)).value() == state);
}

TEST_CASE("JSON written by people is checked") {
  struct Case {
    const char *Text;
    const char *ErrorPart;
  };
  const Case cases[] = {
      {"{", "parse"},
      {"[]", ""},
      {R"({"Vm": 5})", "string"},
      {R"({"Vn": "x"})", "Vn"},
      {R"({"Vm": "x", "Capacity": {"Slot": 1}})", "Capacity.Slot"},
  };
  for (const auto &c : cases) {
    CAPTURE(c.Text);
    const auto result = fromJson<model::Announcement>(c.Text);
    REQUIRE(!result);
    CHECK(result.error().Text.find(c.ErrorPart) != std::string::npos);
  }
}

TEST_CASE("an unknown member of the inner protocol is ignored") {
  model::Announcement plain;
  plain.Vm = core::VmId("v");
  std::string bytes = encode(plain);
  // The high three bits of a CBOR map are 101, the low five its number of
  // pairs. Adds one pair, "Zz": 1.
  REQUIRE((bytes[0] & 0xe0) == 0xa0);
  ++bytes[0];
  bytes += std::string("\x62Zz\x01");
  CHECK(decode<model::Announcement>(bytes).value() == plain);
}

TEST_CASE("random and damaged bytes never crash the decoder") {
  std::mt19937_64 rng(20261204);
  const std::string good = encode(sampleChange());
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (int n = 0; n < 1 + i % 5; ++n)
      bytes[rng() % bytes.size()] = char(rng());
    if (i % 3 == 0)
      bytes.resize(rng() % bytes.size());
    (void)decode<state::Change>(bytes);
    (void)decode<consensus::Message>(bytes);
    (void)fromJson<state::Change>(bytes);
  }
}

TEST_CASE("deeply nested input is refused without a stack overflow") {
  const std::string cbor(1 << 20, '\x81');
  CHECK(!decode<state::Change>(cbor));
  const std::string json(1 << 20, '[');
  CHECK(!fromJson<state::Change>(json));
}
