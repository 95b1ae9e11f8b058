/// @file
/// @brief A body of a Beast message in a string whose bytes count for a ByteBudget.
#pragma once

#include "wasabispar/net/byte_budget.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace wasabispar {

/// @brief Meets the requirements of Beast's Body for messages that are read. Reading ends
/// with `body_limit` when the budget is used up.
struct BudgetedBody
{
  // The names are those that Beast requires.
  // NOLINTBEGIN(readability-identifier-naming)
  struct value_type
  {
    std::string mText;
    ByteBudget::Reservation mReservation;
    /// Whether the budget was used up while the message was read.
    bool mIsOverBudget = false;
    /// How much of mText the owner of the message has accounted for.
    std::size_t mCountedBytes = 0;
  };

  static std::uint64_t size(const value_type& aBody) { return aBody.mText.size(); }

  class reader
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& aError)
    {
      aError = {};
    }

    template<class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& aBuffers, boost::beast::error_code& aError)
    {
      const auto bytes = boost::asio::buffer_size(aBuffers);
      if (!mBody.mReservation.Grow(bytes)) {
        mBody.mIsOverBudget = true;
        aError = boost::beast::http::error::body_limit;
        return 0;
      }
      aError = {};
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        mBody.mText.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return bytes;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& mBody;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace wasabispar
