#pragma once

// clang 14 has coroutines but does not say so by the macro that libstdc++ 12 and Asio ask for.
#if defined(__clang__) && !defined(__cpp_impl_coroutine)
#define __cpp_impl_coroutine 201902L
#endif

#include "pch.h"
