#include "almondgate/http/request_head.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::http;

TEST_CASE("request heads that servers may read differently are refused") {
  struct Case {
    const char *Head;
    bool Valid;
  };
  const Case cases[] = {
      {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
      {"GET / HTTP/1.1\nHost: a\n\n", true},
      {"GET / HTTP/1.0\r\n\r\n", true},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nHost: b", true},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
       true},
      {"GET / HTTP/1.1\r\n\r\n", false},
      {"GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", false},
      {"GET / HTTP/1.0\r\nHost: a\r\nHOST: b\r\n\r\n", false},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
       "Content-Length: 9\r\n\r\nab",
       false},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
       "content-length: 2\r\n\r\nab",
       false},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       false},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: identity\r\n\r\n",
       false},
      {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", false},
      {"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n more\r\n\r\n", false},
      {"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n", false},
      {"GET / HTTP/1.1\r\nHost: a\r\n: no name\r\n\r\n", false},
  };
  for (const auto &row : cases) {
    CAPTURE(row.Head);
    CHECK(bool(checkRequestHead(row.Head)) == row.Valid);
  }
}

TEST_CASE("request targets are read in origin-form and absolute-form") {
  struct Case {
    const char *Target;
    const char *Path;
    const char *Host;
  };
  const Case cases[] = {
      {"/", "/", ""},
      {"/q/x?a=../b", "/q/x?a=../b", ""},
      {"/q/..x/.y/z..", "/q/..x/.y/z..", ""},
      {"/q/http://other/x", "/q/http://other/x", ""},
      {"http://shop.example/q/x", "/q/x", "shop.example"},
      {"HTTP://shop.example:80/q?x=1", "/q?x=1", "shop.example:80"},
      {"http://shop.example", "/", "shop.example"},
      {"http://shop.example?x=1", "/?x=1", "shop.example"},
  };
  for (const auto &row : cases) {
    CAPTURE(row.Target);
    const auto target = parseRequestTarget(row.Target);
    REQUIRE(bool(target));
    CHECK(target.value().Path == row.Path);
    CHECK(target.value().Host == row.Host);
  }
  for (const char *bad :
       {"", "*", "q/x", "ftp://a/b", "http://", "http:///x", "http://u@a/b",
        "/q/../admin", "/q/q/../../admin", "/..", "/q/.", "/./q", "/q/%2e%2E/x",
        "/q/.%2e", "http://a/q/../b"}) {
    CAPTURE(bad);
    CHECK(!parseRequestTarget(bad));
  }
}
