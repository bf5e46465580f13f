//! The precompiled header needs one translation unit of its own.
#include "pch.h"
