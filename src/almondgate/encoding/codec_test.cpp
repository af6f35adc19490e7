#include "almondgate/consensus/message.hpp"
#include "almondgate/encoding/codec.hpp"
#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/jobs/evacuation_list.hpp"
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

namespace {

state::Change jobEvents(std::vector<jobs::Event> events) {
  state::Change out;
  out.What = state::RecordJobs{std::move(events)};
  return out;
}

// Changes the member with this name in an encoded value to one that no decoder
// knows, as if the value came from a version without the member.
void hideMember(std::string &bytes, const std::string &name) {
  const size_t at = bytes.find(name);
  REQUIRE(at != std::string::npos);
  bytes[at] = '_';
}

} // namespace

// Guards against a log or a snapshot that a member can't read back.
TEST_CASE("evacuations survive encoding and decoding") {
  const core::ZoneId zone("z-1");
  const auto change =
      jobEvents({jobs::ZoneEvacuated{zone, "ann", "fire", 7, 3},
                 jobs::EvacuationWithdrawn{zone, "bob", "over", 8, 4}});
  CHECK(decode<state::Change>(encode(change)).value() == change);
  CHECK(toJson(change).find("zone-evacuated") != std::string::npos);
  CHECK(toJson(change).find("evacuation-withdrawn") != std::string::npos);
  state::State state;
  jobs::apply(state.Jobs, jobs::ZoneEvacuated{zone, "ann", "fire", 7, 0});
  CHECK(decode<state::State>(encode(state)).value() == state);
  const jobs::EvacuationChange request{zone, false, "ann", "over", {5, 6, 7}};
  CHECK(decode<jobs::EvacuationChange>(encode(request)).value() == request);
  const jobs::EvacuationList list{{1, 2, 3},
                                  {{zone, {"ann", "fire", 7}}},
                                  {{jobs::EndpointId("e"), zone, 4, 5}}};
  CHECK(decode<jobs::EvacuationList>(encode(list)).value() == list);
}

// Guards against a new version that can't start from an earlier one's files.
TEST_CASE("a snapshot without evacuations is read") {
  state::State state;
  state.Jobs.Epoch = 4;
  jobs::apply(state.Jobs,
              jobs::ZoneEvacuated{core::ZoneId("z-1"), "ann", "fire", 7, 0});
  std::string bytes = encode(state);
  hideMember(bytes, "EvacuationRevision");
  hideMember(bytes, "Evacuations");
  const auto read = decode<state::State>(bytes);
  REQUIRE(read);
  CHECK(read.value().Jobs.Evacuations.empty());
  CHECK(read.value().Jobs.EvacuationRevision == 0);
  CHECK(read.value().Jobs.Epoch == 4);
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
