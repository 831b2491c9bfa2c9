/** Calls to upstreams: model engines, encoders, retrievers, rerankers and plain services. */
package org.arbutusspar.io.upstream;
