/// @file
/// @brief Tests of the heads of messages that are sent.
#include "wasabispar/net/message_head.hpp"

#include <doctest/doctest.h>

using namespace wasabispar;

/// Guards against a message whose end the peer sees elsewhere: fields that frame another
/// message were copied from it.
TEST_CASE("fields that frame a message are not copied")
{
  const std::vector<HttpHeader> framing{ { "content-length", "7" },
                                         { "Transfer-Encoding", "chunked" },
                                         { "Connection", "keep-alive" } };
  HttpRequest request;
  request.mMethod = "POST";
  request.mHeaders = framing;
  request.mHeaders.push_back({ "X-A", "1" });
  request.mContentType = "";
  CHECK(RequestHead(request, "h:1") == "POST / HTTP/1.1\r\nX-A: 1\r\nHost: h:1\r\n"
                                       "Content-Length: 0\r\n\r\n");
  HttpResponse response;
  response.mHeaders = framing;
  response.mContentType = "";
  response.mBody = "ok";
  CHECK(ResponseHead(response, 11, false) ==
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n");
}

TEST_CASE("a request without a body states a length only where its method expects one")
{
  HttpRequest request;
  request.mHeaders = { { "Host", "a" } };
  CHECK(RequestHead(request, "h:1") == "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  request.mBody = "x";
  CHECK(RequestHead(request, "h:1") ==
        "GET / HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
        "Content-Length: 1\r\n\r\n");
}

/// Guards against an exception of the library for a response that must have no body, and
/// against a client that waits for one.
TEST_CASE("a response without a body states no length")
{
  HttpResponse response;
  response.mContentType = "";
  response.mStatus = 304;
  response.mBody = "x";
  CHECK(ResponseHead(response, 11, true) == "HTTP/1.1 304 Not Modified\r\n\r\n");
  CHECK(ResponseHead(response, 10, true) ==
        "HTTP/1.0 304 Not Modified\r\nConnection: keep-alive\r\n\r\n");
}
