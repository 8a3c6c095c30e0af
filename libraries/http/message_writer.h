#ifndef LIBRARIES_HTTP_MESSAGE_WRITER_H_
#define LIBRARIES_HTTP_MESSAGE_WRITER_H_

#include <string>
#include <string_view>

#include "libraries/http/http_message.h"

namespace bulrushshore {

// Returns the bytes of a request on a connection that is kept open. The body is
// framed by its length. Precondition: the headers name no connection header.
// Thread safe.
std::string SerializeRequest(const proxy_request& request);

// Returns the bytes of a response to a request with `method`, framed by the
// length of its body. `closes_connection` announces that the connection ends
// behind it. Precondition: the headers name no connection header. Thread safe.
std::string SerializeResponse(const proxy_response& response,
                              std::string_view method,
                              bool closes_connection);

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_MESSAGE_WRITER_H_
