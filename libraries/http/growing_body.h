#ifndef LIBRARIES_HTTP_GROWING_BODY_H_
#define LIBRARIES_HTTP_GROWING_BODY_H_

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace bulrushshore {

// The type of a message's body for the parsers of Boost.Beast. Differs from
// string_body in that it takes memory for the bytes that have arrived, not for
// the length that the sender states.
struct growing_body {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*stated_length*/,
              boost::beast::error_code& error) {
      error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      for (const boost::asio::const_buffer buffer :
           boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return boost::beast::buffer_bytes(buffers);
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_GROWING_BODY_H_
