package org.hemlockpick.transport.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.filter.ClientFilterResolutionContext;
import io.micronaut.http.filter.GenericHttpFilter;
import io.micronaut.http.filter.HttpClientFilterResolver;
import java.util.List;

/** Applies no client filters, as none may repeat or change a call. */
final class NoFilters implements HttpClientFilterResolver<ClientFilterResolutionContext> {
  @Override
  public List<FilterEntry> resolveFilterEntries(ClientFilterResolutionContext context) {
    return List.of();
  }

  @Override
  public List<GenericHttpFilter> resolveFilters(HttpRequest<?> request, List<FilterEntry> entries) {
    return List.of();
  }
}
