/** What the sidecar has done, counted for its operators. */
package pondridge.sidecar.metrics;
