#include "read_message.hpp"

#include "almondgate/encoding/codec.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::consensus;

TEST_CASE("a message with an unreadable membership is refused as a whole") {
  const auto message_with = [](EntryKind kind, const std::string &data) {
    Message out;
    out.Entries = {{1, 1, EntryKind::Empty, {}}, {1, 2, kind, data}};
    return encoding::encode(out);
  };
  const std::string good = encoding::encode(Membership{});
  CHECK(control::readMessage(message_with(EntryKind::Membership, good)));
  // Commands are read when they are committed.
  CHECK(control::readMessage(message_with(EntryKind::Command, "\xff")));
  for (const char *bad : {"", "\xff", "not a membership"}) {
    const auto read =
        control::readMessage(message_with(EntryKind::Membership, bad));
    REQUIRE(!read);
    CHECK(read.error().Code == core::ErrorCode::Corrupt);
  }
  CHECK(!control::readMessage("\xff"));
}
