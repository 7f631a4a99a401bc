"""Code generated from idl/primrose.thrift by the thrift compiler 0.17."""
