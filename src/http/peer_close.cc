#include "http/peer_close.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace calicodrift::http {
namespace {

/// Sees a close behind bytes that are still unread, which a read does not.
bool hangsUp(int socket) {
  pollfd watched{socket, POLLRDHUP, 0};
  return ::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

bool peerHasClosed(int socket) {
  char byte = 0;
  const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count < 0) {
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }
  return count == 0 || hangsUp(socket);
}

}  // namespace calicodrift::http
