// Compiles Asio and Beast once, so that no other unit pays for them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
