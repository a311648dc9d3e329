// Declares the HTTP call to the plain service next to a sidecar.
#ifndef SYCAMOREPOST_ADAPTERS_SERVICE_CLIENT_H_
#define SYCAMOREPOST_ADAPTERS_SERVICE_CLIENT_H_

#include <string>

#include "net/Http.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// Sends one request to the service at an ip:port address and returns its response, or how the call
// failed. Never retries, as the request may not be idempotent. Hop-by-hop header fields of the
// response are removed.
asio::awaitable<ServiceEnded>
CallService(std::string aAddress, ServiceCall aCall);

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_SERVICE_CLIENT_H_
