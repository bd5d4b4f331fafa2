/** Where a sidecar is between its start and its end: the one owner of that fact. */
package pondridge.sidecar.lifecycle;
