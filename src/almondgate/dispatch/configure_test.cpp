#include "test_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

/// A fleet whose log lines about configurations are kept.
struct Operated {
  Operated() : Base(2) {
    Base.OnLogLine = [this](const std::string &line) {
      if (line.find("configuration ") != std::string::npos)
        Lines.push_back(line);
    };
  }

  jobs::FleetConfig next(uint64_t version, const std::string &source) const {
    auto config = Base.ledger().Config;
    config.Version = version;
    config.Source = source;
    return config;
  }

  bool send(const jobs::FleetConfig &config) {
    bool acknowledged = false;
    Base.dispatcher().configure(config, [&](const core::Status &status) {
      acknowledged = bool(status);
    });
    Base.advance(100);
    return acknowledged;
  }

  bool hasLine(const std::string &part) const {
    return std::any_of(Lines.begin(), Lines.end(), [&](const auto &line) {
      return line.find(part) != std::string::npos;
    });
  }

  Fleet Base;
  std::vector<std::string> Lines;
};

} // namespace

// Guards against other content under a version that is in force, and against an
// older version that replaces it.
TEST_CASE("a version that is not newer is acknowledged and changes nothing") {
  Operated operated;
  REQUIRE(operated.send(operated.next(20, "twenty")));
  auto other = operated.next(20, "other");
  other.Queues.clear();
  CHECK(operated.send(other));
  auto older = operated.next(19, "nineteen");
  older.Teams.clear();
  CHECK(operated.send(older));
  CHECK(operated.send(operated.next(20, "twenty")));
  CHECK(operated.Base.ledger().Config.Version == 20);
  CHECK(operated.Base.dispatcher().configSource().value() == "twenty");
  CHECK_FALSE(operated.Base.ledger().Config.Queues.empty());
  CHECK_FALSE(operated.Base.ledger().Config.Teams.empty());
}

// Guards against two contents of one version that are both on their way.
TEST_CASE("of two contents of a version the first one holds everywhere") {
  Operated operated;
  std::vector<bool> results;
  const auto done = [&](const core::Status &status) {
    results.push_back(bool(status));
  };
  auto other = operated.next(20, "other");
  other.Queues.clear();
  operated.Base.dispatcher().configure(operated.next(20, "first"), done);
  operated.Base.dispatcher().configure(other, done);
  operated.Base.advance(100);
  CHECK(results == std::vector{true, true});
  CHECK(operated.Base.ledger().Config.Source == "first");
  CHECK_FALSE(operated.Base.ledger().Config.Queues.empty());
  operated.Base.lead();
  CHECK(operated.Base.dispatcher().configSource().value() == "first");
}

// Guards against an old or missing configuration whose log doesn't tell what
// the leader held when it acknowledged a change.
TEST_CASE("the log names the version in force at each acknowledgement") {
  Operated operated;
  operated.send(operated.next(20, "twenty"));
  CHECK(operated.hasLine("configuration 20 received"));
  CHECK(operated.hasLine("configuration 20 acknowledged: version 20"));
  operated.send(operated.next(18, "eighteen"));
  CHECK(operated.hasLine(
      "configuration 18 acknowledged without a change: version 20"));
  operated.send(operated.next(20, "other"));
  CHECK(operated.hasLine("version 20 is in force with other content"));
  operated.Base.dispatcher().configure(
      operated.next(30, "thirty"),
      [](const core::Status &status) { CHECK_FALSE(bool(status)); });
  operated.Base.stopLeading();
  CHECK(operated.hasLine("configuration 30 has no known outcome: version 20"));
}

// Guards against a burst of changes that is recorded one by one, and against
// changes sent again that are recorded again: under a processor quota the
// leader fell behind and lost its leadership.
TEST_CASE("a burst of configurations is recorded as two") {
  Operated operated;
  std::vector<uint64_t> acknowledged;
  const auto send = [&](uint64_t version) {
    operated.Base.dispatcher().configure(
        operated.next(version, std::to_string(version)),
        [&acknowledged, version](const core::Status &status) {
          if (status)
            acknowledged.push_back(version);
        });
  };
  const auto before = operated.Base.RecordedConfigs;
  for (const uint64_t version : {20, 21, 20, 23, 22, 23})
    send(version);
  operated.Base.advance(200);
  CHECK(operated.Base.RecordedConfigs - before == 2);
  CHECK(acknowledged == std::vector<uint64_t>{20, 20, 21, 23, 22, 23});
  CHECK(operated.Base.dispatcher().configSource().value() == "23");
}

// Guards against an acknowledgement of a change that waited for another when
// the leadership ended.
TEST_CASE("changes that wait have no known outcome when leadership ends") {
  Operated operated;
  std::vector<bool> results;
  const auto done = [&](const core::Status &status) {
    results.push_back(bool(status));
  };
  operated.Base.dispatcher().configure(operated.next(20, "first"), done);
  operated.Base.dispatcher().configure(operated.next(21, "second"), done);
  operated.Base.stopLeading();
  CHECK(results == std::vector{false, false});
  operated.Base.lead();
  CHECK(operated.send(operated.next(21, "second")));
  CHECK(operated.Base.dispatcher().configSource().value() == "second");
}
