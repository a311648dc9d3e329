// Compiles the separately compiled parts of Asio and Beast once, to keep other units fast to build.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
