/// @file
/// @brief Parsers of received HTTP messages, with bounds on the trailer and the body.
///
/// The parsers that Beast provides store the fields in a container that holds less than
/// 64 KiB of a value and throws std::length_error for more. These ones store them in
/// strings and never throw because of what a peer sends.
#pragma once

#include "wasabispar/net/byte_budget.hpp"
#include "wasabispar/net/http_types.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief The body of a message that is being received.
struct ReceivedBody
{
  std::string mText;
  /// The bytes of mText in the budget, if there is one.
  ByteBudget::Reservation mReservation;
  /// Whether the budget was used up while the body was read.
  bool mIsOverBudget = false;
  /// How much of mText the owner of the parser has accounted for.
  std::size_t mCountedBytes = 0;
};

/// @brief What both kinds of messages have in common. Reading ends with `header_limit`
/// when the trailer is longer than the header may be, and with `body_limit` when the
/// budget of the body is used up.
template<bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
  /// @param aMaxHeaderBytes bounds the header and the trailer, each.
  MessageParser(std::size_t aMaxHeaderBytes, std::uint64_t aMaxBodyBytes)
    : mMaxHeaderBytes(aMaxHeaderBytes)
  {
    constexpr std::size_t kLargestLimit = std::numeric_limits<std::uint32_t>::max();
    this->header_limit(
      static_cast<std::uint32_t>(std::min(aMaxHeaderBytes, kLargestLimit)));
    this->body_limit(aMaxBodyBytes);
  }

  /// @brief 10 for HTTP/1.0, 11 for HTTP/1.1.
  unsigned Version() const { return mVersion; }
  /// @brief The fields of the header, and of the trailer once the message is complete.
  std::vector<HttpHeader>& Headers() { return mHeaders; }
  ReceivedBody& Body() { return mBody; }

protected:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  void SetVersion(int aVersion) { mVersion = static_cast<unsigned>(aVersion); }

private:
  // The names are those that Beast requires.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_field_impl(boost::beast::http::field, Text aName, Text aValue,
                     ErrorCode& aError) override
  {
    if (mIsHeaderDone) {
      /// Bytes of a field beside its name and value: colon, space and line end.
      constexpr std::size_t kFieldFramingBytes = 4;
      mTrailerBytes += aName.size() + aValue.size() + kFieldFramingBytes;
    }
    if (mTrailerBytes > mMaxHeaderBytes) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    mHeaders.push_back({ std::string(aName), std::string(aValue) });
  }

  void on_header_impl(ErrorCode&) override { mIsHeaderDone = true; }

  void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}

  std::size_t on_body_impl(Text aBytes, ErrorCode& aError) override
  {
    if (!mBody.mReservation.Grow(aBytes.size())) {
      mBody.mIsOverBudget = true;
      aError = boost::beast::http::error::body_limit;
      return 0;
    }
    mBody.mText.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t, Text aBytes, ErrorCode& aError) override
  {
    return on_body_impl(aBytes, aError);
  }

  void on_finish_impl(ErrorCode&) override {}
  // NOLINTEND(readability-identifier-naming)

  std::size_t mMaxHeaderBytes;
  unsigned mVersion = 11;
  std::vector<HttpHeader> mHeaders;
  ReceivedBody mBody;
  bool mIsHeaderDone = false;
  std::size_t mTrailerBytes = 0;
};

/// @brief Parses a request.
class RequestParser final : public MessageParser<true>
{
public:
  using MessageParser::MessageParser;

  std::string& Method() { return mMethod; }
  std::string& Target() { return mTarget; }

private:
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(boost::beast::http::verb, Text aMethod, Text aTarget, int aVersion,
                       ErrorCode&) override
  {
    mMethod = std::string(aMethod);
    mTarget = std::string(aTarget);
    SetVersion(aVersion);
  }

  void on_response_impl(int, Text, int, ErrorCode&) override {}
  // NOLINTEND(readability-identifier-naming)

  std::string mMethod;
  std::string mTarget;
};

/// @brief Parses a response.
class ResponseParser final : public MessageParser<false>
{
public:
  using MessageParser::MessageParser;

  /// @brief The status code; valid once the header is complete. Reading ends with
  /// `bad_status` if it is outside of 100 to 599, the range that RFC 9110 defines.
  unsigned Status() const { return mStatus; }
  /// @brief Whether the response is followed by the answer.
  bool IsInterim() const { return mStatus < kFirstFinalStatus; }

private:
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode&) override {}

  void on_response_impl(int aStatus, Text, int aVersion, ErrorCode& aError) override
  {
    mStatus = static_cast<unsigned>(aStatus);
    SetVersion(aVersion);
    if (mStatus < kFirstStatus || mStatus > kLastStatus) {
      aError = boost::beast::http::error::bad_status;
    }
  }
  // NOLINTEND(readability-identifier-naming)

  static constexpr unsigned kFirstStatus = 100;
  static constexpr unsigned kFirstFinalStatus = 200;
  static constexpr unsigned kLastStatus = 599;

  unsigned mStatus = 0;
};

} // namespace wasabispar
