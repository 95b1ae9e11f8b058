/// @file
/// @brief A body of a Beast message in a string that several messages share.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace wasabispar {

/// @brief Meets the requirements of Beast's Body for messages that are written.
struct SharedBody
{
  // The names are those that Beast requires.
  // NOLINTBEGIN(readability-identifier-naming)
  struct value_type
  {
    /// Null: empty.
    std::shared_ptr<const std::string> mText;
    /// See HttpRequest::mReservedMemory.
    std::shared_ptr<const void> mReservedMemory;
  };

  static std::uint64_t size(const value_type& aBody)
  {
    return aBody.mText ? aBody.mText->size() : 0;
  }

  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool isRequest, class Fields>
    writer(const boost::beast::http::header<isRequest, Fields>&, const value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(boost::beast::error_code& aError) { aError = {}; }

    boost::optional<std::pair<const_buffers_type, bool>> get(
      boost::beast::error_code& aError)
    {
      aError = {};
      return { { mBody.mText ? boost::asio::buffer(*mBody.mText) : const_buffers_type{},
                 false } };
    }

  private:
    const value_type& mBody;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace wasabispar
