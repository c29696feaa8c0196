#pragma once

// Internal to src/http: only its .cc files include this file.
namespace calicodrift::http {

/// Whether the other side of the connection has closed or reset it, or has closed its sending
/// direction, even if bytes that came before have not been read. Does not wait, and reads nothing.
bool peerHasClosed(int socket);

}  // namespace calicodrift::http
