// Offers the plain service beside a sidecar: one HTTP call, never repeated here.
#ifndef SYCAMOREPOST_ADAPTERS_SERVICE_CLIENT_H_
#define SYCAMOREPOST_ADAPTERS_SERVICE_CLIENT_H_

#include <string>

#include "net/Http.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// Makes one call and returns how it ended.
asio::awaitable<ServiceEnded>
CallService(std::string aAddress, ServiceCall aCall);

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_SERVICE_CLIENT_H_
