#include "jsoncodec.h"

#include <google/protobuf/util/json_util.h>

namespace godwitfall {

std::string toJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string json;
    (void)google::protobuf::util::MessageToJsonString(message, &json, options);
    return json;
}

Result<void> fromJson(const std::string &json, google::protobuf::Message &message,
                      const std::string &step, const std::string &peer)
{
    const auto status = google::protobuf::util::JsonStringToMessage(json, &message);
    if (!status.ok()) {
        return tl::unexpected(
            Error{Fate::Invalid, step, peer, std::string(status.message().as_string())});
    }
    return {};
}

} // namespace godwitfall
