// Compiles the separately compiled parts of Asio, Beast and Boost.URL once, to keep other units
// fast to build.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/url/src.hpp>
