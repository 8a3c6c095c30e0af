#ifndef LIBRARIES_PEER_PROTOCOL_MESSAGE_CODEC_H_
#define LIBRARIES_PEER_PROTOCOL_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "libraries/base/result.h"
#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {

// Returns the type name of `body` on the wire. Thread safe.
std::string_view MessageTypeName(const peer_body& body);

// Returns true if messages of this type answer another one. Thread safe.
bool IsReply(const peer_body& body);

// Returns the message as one CBOR map {v, type, id, from, body}. Thread safe.
// Precondition: the lists and texts of `message` keep the bounds in messages.h.
std::string EncodeMessage(const peer_message& message);

// Reads one message and checks all its fields; fields that this version does
// not know are ignored. kInvalidArgument for malformed frames, kNotFound for a
// version or type that this build does not know, kResourceExhausted for frames
// above kMaxFrameBytes. Thread safe.
result<peer_message> DecodeMessage(std::string_view frame);

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_MESSAGE_CODEC_H_
