package topazvalve.tcp;

import java.net.InetSocketAddress;

/** A stream that is to be opened: who called whom, as servers may be told. */
record StreamRequest(InetSocketAddress caller, InetSocketAddress called) {}
