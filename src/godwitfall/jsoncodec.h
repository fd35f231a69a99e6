#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "error.h"

namespace godwitfall {

/** Returns the message in protobuf's JSON mapping, with field names as in the schema. */
std::string toJson(const google::protobuf::Message &message);

/** Reads the message from its JSON mapping; a field that the schema does not have is an error. */
Result<void> fromJson(const std::string &json, google::protobuf::Message &message,
                      const std::string &step, const std::string &peer);

} // namespace godwitfall
