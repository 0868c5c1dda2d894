// Includes h2o configured for libuv, as Debian builds it.
#pragma once

#define H2O_USE_LIBUV 1
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
extern "C"
{
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
#pragma GCC diagnostic pop
